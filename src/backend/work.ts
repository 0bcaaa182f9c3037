/** Requests at the gate of the backend server. */
export type Work = { running: number; waiting: number };
