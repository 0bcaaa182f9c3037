// Measures what rules cost one daemon, against the number of services:
// node --expose-gc --import=tsx bench/rules_slopes.ts
import process from "node:process";
import { applyChanges } from "../src/rules/apply_changes.ts";
import { applySnapshot } from "../src/rules/apply_snapshot.ts";
import { Change } from "../src/rules/change.ts";
import { createRules } from "../src/rules/create_rules.ts";
import { createHeadNotice } from "../src/rules/create_head_notice.ts";
import type { Rules } from "../src/rules/rules.ts";
import { reportRules } from "../src/rules/report_rules.ts";
import { Snapshot } from "../src/rules/snapshot.ts";
import { takeSnapshot } from "../src/rules/take_snapshot.ts";
import { applySection } from "./rules/apply_section.ts";
import { createDepartments } from "./rules/create_departments.ts";
import { createSection } from "./rules/create_section.ts";
import type { Department } from "./rules/department.ts";
import { departmentKeys } from "./rules/department_keys.ts";

const DEPARTMENTS = 100;
const SERVICES = [100, 400, 700, 1_000, 1_300];
const CHANGES = 1_000;
const DAY_SECONDS = 86_400;
const CHANGES_PER_DAY = 4_000;
const PUSH_PEERS = 3;

function cpuMs(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000;
}

function heapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function measure(departments: Department[], services: number) {
  const keys = { departmentKeys: departmentKeys(departments) };
  const each = services / DEPARTMENTS;
  const writer = createRules(keys);
  for (const department of departments) {
    applySection(
      writer,
      createSection(department, { version: 1, services: each }),
    );
  }
  const wire = JSON.stringify(takeSnapshot(writer));
  const daemon = createRules(keys);
  const empty = heapBytes();
  const snapshotMs = cpuMs(() => {
    applySnapshot(daemon, Snapshot.parse(JSON.parse(wire)), 0);
  });
  const sectionBytes = (heapBytes() - empty) / DEPARTMENTS;
  const texts = changeTexts(writer, { departments, services: each });
  const full = heapBytes();
  const changeMs = cpuMs(() => {
    for (const text of texts) {
      applyChanges(daemon, [Change.parse(JSON.parse(text))], 0);
    }
  }) / texts.length;
  const recentBytes = heapBytes() - full;
  if (daemon.record.digest !== writer.record.digest) {
    throw new Error("Daemon did not follow the changes");
  }
  const changeBytes = Buffer.byteLength(texts[0] ?? "");
  const notice = createHeadNotice(daemon);
  const noticeBytes = Buffer.byteLength(JSON.stringify(notice));
  // A change that is too large to be pushed is pulled once.
  const pulledBytes = notice.change ? 0 : changeBytes;
  const perDay = CHANGES_PER_DAY / DAY_SECONDS;
  return {
    services,
    changeCpuMs: changeMs.toFixed(3),
    changeBytes,
    noticeBytes,
    receivedBytesPerSecond: Math.round(
      perDay * (pulledBytes + PUSH_PEERS * noticeBytes),
    ),
    cpuShare: `${(perDay * changeMs / 10).toFixed(4)}%`,
    snapshotBytes: Buffer.byteLength(wire),
    snapshotCpuMs: snapshotMs.toFixed(1),
    sectionHeapBytes: Math.round(sectionBytes),
    recentHeapBytes: recentBytes,
    recentChanges: daemon.recentChanges.length,
    reportBytes: Buffer.byteLength(JSON.stringify(reportRules(daemon))),
  };
}

function changeTexts(
  writer: Rules,
  { departments, services }: { departments: Department[]; services: number },
): string[] {
  return Array.from({ length: CHANGES }, (_, index) => {
    const department = departments[index % DEPARTMENTS] as Department;
    const version = 2 + Math.floor(index / DEPARTMENTS);
    const section = createSection(department, { version, services });
    return JSON.stringify(applySection(writer, section));
  });
}

const departments = createDepartments(DEPARTMENTS);
// The first run only warms up the compiler.
measure(departments, SERVICES[0] ?? DEPARTMENTS);
console.table(SERVICES.map((services) => measure(departments, services)));
