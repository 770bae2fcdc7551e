import { Encoder } from 'cbor-x'

/** Plain CBOR without the record extension of cbor-x, so that any CBOR reader can decode files and frames. */
const coder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

export function encode(body: unknown): Uint8Array {
  return coder.encode(body)
}

export function decode(bytes: Uint8Array): unknown {
  return coder.decode(bytes)
}
