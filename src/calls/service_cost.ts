/** Slot time that one request takes at a service, in ms. */
export type ServiceCost = { service: string; slotMs: number };
