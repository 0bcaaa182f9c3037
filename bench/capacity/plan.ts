/** The size to plan for. */
export const PLAN = {
  daemons: 14_000,
  dataCentres: 10,
  services: 1_300,
  departments: 100,
};
