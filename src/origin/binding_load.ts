/** Load below which a service takes all that comes. */
export const BINDING_LOAD = 0.9;
