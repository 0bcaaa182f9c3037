import { rm } from "node:fs/promises";
import { endMember } from "./end_member.ts";
import type { Fleet } from "./fleet.ts";

/** Ends every process that the fleet has started. */
export async function stopFleet(fleet: Fleet): Promise<void> {
  await Promise.all(fleet.members.map((member) => endMember(member)));
  await rm(fleet.directory, { recursive: true, force: true });
}
