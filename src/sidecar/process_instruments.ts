import process from "node:process";
import type { Instrument } from "../metrics/instrument.ts";

const US_PER_S = 1_000_000;

/** Metrics of the process, under the names customary for Node.js programs. */
export const processInstruments: readonly Instrument[] = [
  {
    type: "counter",
    name: "process_cpu",
    unit: "seconds",
    help: "User and system processor time.",
    read() {
      const { user, system } = process.cpuUsage();
      return (user + system) / US_PER_S;
    },
  },
  {
    type: "gauge",
    name: "process_resident_memory",
    unit: "bytes",
    help: "Resident memory size.",
    read: () => process.memoryUsage.rss(),
  },
  {
    type: "gauge",
    name: "nodejs_heap_size_used",
    unit: "bytes",
    help: "Used part of the heap.",
    read: () => process.memoryUsage().heapUsed,
  },
  {
    type: "gauge",
    name: "nodejs_heap_size_total",
    unit: "bytes",
    help: "Size of the heap.",
    read: () => process.memoryUsage().heapTotal,
  },
  {
    type: "gauge",
    name: "nodejs_external_memory",
    unit: "bytes",
    help: "Memory of buffers outside of the heap.",
    read: () => process.memoryUsage().external,
  },
];
