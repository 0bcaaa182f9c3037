/** An attempt in progress. */
export type Exchange = {
  /** Gives the attempt up; its reply is not called any more. */
  cancel(): void;
  /** Continues after `Reply.data` returned false. */
  resume(): void;
};
