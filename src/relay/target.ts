/**
 * The daemon that an attempt is sent to, and the execution token it carries.
 */
export type Target = {
  address: string;
  token: string | null;
  /**
   * Whether this is the first send of the token, so that it cannot have run.
   */
  isFirstSend: boolean;
};
