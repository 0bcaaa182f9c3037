import { setTimeout as delay } from "node:timers/promises";
import type { DependencyContainer } from "tsyringe";
import { createLogger } from "../core/create_logger.ts";
import { parse } from "../core/parse.ts";
import type { SectionOutcome } from "../rules/section_outcome.ts";
import { submitSection } from "../rules/submit_section.ts";
import { SubmitRequest } from "../rules/submit_request.ts";
import { departmentKeys } from "./department_keys.ts";
import { ContainerToken } from "./container_token.ts";

const PAUSE_MS = 100;
// The operator waits for the outcome, which must not be lost in a slow poll.
const MAX_POLL_MS = 2_000;

/** Writes a signed section to the store and puts it into effect here. */
export async function submitRules(
  parts: DependencyContainer,
  body: unknown,
): Promise<SectionOutcome> {
  const request = parse(SubmitRequest, body);
  if (!request.ok) return { kind: "rejected", issues: request.issues };
  const { stores } = parts.resolve(ContainerToken.platform);
  if (stores === null) {
    const message = "The settings of this daemon name no platform";
    return { kind: "not-accepted", message };
  }
  const random = parts.resolve(ContainerToken.random);
  const { changeId } = request.value;
  const outcome = await submitSection(stores, {
    ...request.value,
    departmentKeys: departmentKeys(parts.resolve(ContainerToken.settings)),
    // Without a random part two operators would collide on each attempt.
    pause: (attempt) => delay(random() * attempt * PAUSE_MS),
  });
  createLogger("rules")("submitted", { change: changeId, kind: outcome.kind });
  if (outcome.kind === "accepted" || outcome.kind === "already-accepted") {
    const poll = parts.resolve(ContainerToken.keeper).poll();
    await Promise.race([poll, delay(MAX_POLL_MS, undefined, { ref: false })]);
  }
  return outcome;
}
