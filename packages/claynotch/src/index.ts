export { BUILD } from './daemons.js'
