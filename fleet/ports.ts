/** Ports of a fleet's processes, the same on each VM since VMs differ in address. */
export const Ports = {
  ingress: 7000,
  peer: 7001,
  local: 7002,
  server: 8000,
  tableService: 9000,
  objectStore: 9001,
} as const;
