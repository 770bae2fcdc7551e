import { runPart } from './scenarios.js'

runPart(6)
