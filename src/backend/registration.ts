/** The backend server beside this daemon, as it last described itself. */
export type Registration = {
  id: string;
  startedAt: number;
  sequence: number;
  slots: number;
  leaving: boolean;
  /** Whether it has signed off, after which its heartbeats don't count. */
  departed: boolean;
  /** Steady time until which it is slow after its start, in ms. */
  coldUntil: number;
  /** Steady time of its last sign of life, in ms. */
  heardAt: number;
};
