/** Ports of the processes of a fleet; each VM has an address of its own. */
export const Ports = {
  ingress: 7000,
  peer: 7001,
  local: 7002,
  server: 8000,
  tableService: 9000,
  objectStore: 9001,
} as const;
