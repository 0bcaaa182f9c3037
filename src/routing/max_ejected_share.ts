/**
 * Largest share of the candidates of a service that is ejected at once. More
 * failing together is a fault of the observer or of the network.
 */
export const MAX_EJECTED_SHARE = 0.5;
