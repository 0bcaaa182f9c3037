/** Handle of a request in progress: a whole call or one attempt. */
export type Exchange = {
  /** Aborts the request; its `Reply` is not called any more. */
  cancel(): void;
  /** Resumes reading after `Reply.data` returned false. */
  resume(): void;
};
