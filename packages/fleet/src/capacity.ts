// The sums of docs/CAPACITY.md, by matter in capacity/. Nothing here is measured; every figure follows from the points and
// the size handed in.
export { breaksAt, scaled, type Break } from './capacity/breaks.js'
export { fit, valueOf, type Fit } from './capacity/fit.js'
export { costsOf } from './capacity/observations.js'
export { modelOf, type EventFit, type Model, type RowFit } from './capacity/model.js'
export { bounds, SUMMARY_HINTS, target, type Bounds, type Size } from './capacity/size.js'
export { sumsAt, type Row, type Sums } from './capacity/sums.js'
export { pageWith, showNumber, tableText } from './capacity/table.js'
