/** One request that asks for a slot of the backend server. */
export type Ticket = {
  /** Attempt id. */
  id: string;
  /** Shedding priority, see `context/priority.ts`. */
  priority: number;
  department: string;
  /** When the caller stops waiting, in ms. */
  deadlineAt: number;
  /** Starts the request; set by the relay. */
  start: () => void;
  /** Ends the request unrun; set by the relay. */
  drop: (reason: "overload" | "deadline") => void;
};
