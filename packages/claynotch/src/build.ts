/** Version of this build. */
export const BUILD = '0.1.0'
