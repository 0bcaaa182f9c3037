/** Exit statuses of all commands, for scripts; docs/operators.md lists them. */
export const ExitStatus = {
  ok: 0,
  /** The result is negative, for example `rules verify` found a difference. */
  negative: 1,
  /** Wrong arguments, or a settings or rules file with issues. */
  usage: 2,
  /** The daemon could not be reached. */
  unreachable: 3,
  /** Another change was accepted first; the message names its version. */
  conflict: 4,
  /** The request was sent and its outcome is not known. */
  unknown: 5,
  /** The change or request did definitely not take effect. */
  notAccepted: 6,
  /** The response of the daemon does not match the schema of this version. */
  malformedResponse: 7,
  /** Internal error, or the daemon could not start. */
  failed: 8,
  /** The same change was already accepted. */
  unchanged: 9,
  /** The change is stored until other departments have signed it. */
  pending: 10,
  /** The change failed the validation that every daemon performs. */
  rejected: 11,
} as const;
