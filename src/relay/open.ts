/** Something in progress that ends when its deadline passes. */
export type Open = {
  /** In ms on the local clock. */
  deadlineAt: number;
  expire: () => void;
};
