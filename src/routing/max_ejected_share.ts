/**
 * Maximum share of the candidates of a service that are ejected at once. If
 * more fail together, the fault lies with this daemon or the network.
 */
export const MAX_EJECTED_SHARE = 0.5;
