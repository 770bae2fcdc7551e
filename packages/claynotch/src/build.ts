export const BUILD = '0.1.0'
