/** Work in progress that is ended when its deadline passes. */
export type DeadlineEntry = {
  /** In ms on the local clock. */
  deadlineAt: number;
  expire: () => void;
};
