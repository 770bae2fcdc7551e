import { Encoder } from 'cbor-x'

// Plain CBOR without cbor-x's own record extension, so that any CBOR reader can look at files and links.
const coder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

export function encode(body: unknown): Uint8Array {
  return coder.encode(body)
}

export function decode(bytes: Uint8Array): unknown {
  return coder.decode(bytes)
}
