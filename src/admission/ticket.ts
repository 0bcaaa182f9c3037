/** A request that needs a slot of the backend server. */
export type Ticket = {
  /** Attempt id. */
  id: string;
  /** Shedding priority, see `context/request_priority.ts`. */
  priority: number;
  department: string;
  /** When the caller stops waiting, in ms. */
  deadlineAt: number;
  /** Starts the request; set by the relay. */
  start: () => void;
  /** Ends the request without running it; set by the relay. */
  drop: (reason: "overload" | "deadline") => void;
};
