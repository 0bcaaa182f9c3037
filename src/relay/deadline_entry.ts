/** Something in progress that ends when its deadline passes. */
export type DeadlineEntry = {
  /** In ms on the local clock. */
  deadlineAt: number;
  expire: () => void;
};
