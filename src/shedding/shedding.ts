/** Admission levels learned from responses, by service and then by daemon. */
export type Shedding = {
  levels: Map<string, Map<string, { level: number; at: number }>>;
};
