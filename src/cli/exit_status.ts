/** Exit statuses of all commands, for scripts; docs/operators.md lists them. */
export const ExitStatus = {
  ok: 0,
  /** The question was answered, with no: `rules verify` found a difference. */
  negative: 1,
  /** Wrong arguments, or a settings or rules file with issues. */
  usage: 2,
  /** No connection to a daemon. */
  unreachable: 3,
  /** Another change won; the message names its version. */
  conflict: 4,
  /** The request was sent and its outcome is not known. */
  unknown: 5,
  /** The change or request certainly did not take effect. */
  notAccepted: 6,
  /** The daemon answered with something that this version can't read. */
  malformedResponse: 7,
  /** The program itself failed, or the daemon could not start. */
  failed: 8,
  /** The same change had been accepted before. */
  unchanged: 9,
  /** The change is kept until other departments have signed it. */
  pending: 10,
  /** The change did not pass the checks that every daemon makes. */
  rejected: 11,
} as const;
