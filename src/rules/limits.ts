/**
 * Limits that prevent one department from filling the memory of all daemons.
 */
export const LIMITS = {
  /** About 500 services with four requests each. */
  departmentBytes: 262_144,
  /**
   * Lower, because the number of agreements between two departments is not
   * limited.
   */
  agreementBytes: 32_768,
  /** Also bounds the state row, at about 100 bytes a section. */
  sections: 2_000,
};
