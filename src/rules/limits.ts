/** Bounds that keep one department from filling every daemon's memory. */
export const LIMITS = {
  /** About 500 services with four requests each. */
  departmentBytes: 262_144,
  /** Lower, because two departments can make any number of agreements. */
  agreementBytes: 32_768,
  /** Also bounds the state row, at about 100 bytes a section. */
  sections: 2_000,
};
