/** Load below which all requests for a service are admitted. */
export const SATURATION_LOAD = 0.9;
