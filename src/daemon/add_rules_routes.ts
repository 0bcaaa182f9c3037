import type { App } from "@tinyhttp/app";
import type { DependencyContainer } from "tsyringe";
import { parse } from "../core/parse.ts";
import { ChangeRecord } from "../rules/change_record.ts";
import type { ChangeState } from "../rules/change_state.ts";
import { findChange } from "../rules/find_change.ts";
import { LIMITS } from "../rules/limits.ts";
import { Name } from "../rules/name.ts";
import { collectRulesReports } from "./collect_rules_reports.ts";
import { readJson } from "./read_json.ts";
import { submitRules } from "./submit_rules.ts";
import { ContainerToken } from "./container_token.ts";

// Room for the body of a section and the signatures of all parties.
const MAX_SUBMIT_BYTES = 2 * LIMITS.departmentBytes;

/** Adds the routes with which operators read and submit rules. */
export function addRulesRoutes(app: App, container: DependencyContainer): void {
  app.get("/-/rules", async (request, response) => {
    const query = queryOf(request.url);
    const department = parse(
      Name.optional(),
      query.get("department") ?? undefined,
    );
    if (!department.ok) return response.status(400).json(department);
    const everywhere = query.get("scope") === "members";
    response.json(
      await collectRulesReports(container, {
        everywhere,
        department: department.value,
      }),
    );
  });
  app.get("/-/rules/change", async (request, response) => {
    const id = parse(ChangeRecord.shape.id, queryOf(request.url).get("id"));
    if (!id.ok) return response.status(400).json(id);
    response.json(await changeState(container, id.value));
  });
  app.post("/-/rules/submit", async (request, response) => {
    const body = await readJson(request, MAX_SUBMIT_BYTES);
    response.json(await submitRules(container, body));
  });
}

function queryOf(url: string): URLSearchParams {
  return new URL(url, "http://daemon").searchParams;
}

function changeState(
  container: DependencyContainer,
  id: string,
): Promise<ChangeState> {
  const { stores } = container.resolve(ContainerToken.platform);
  if (stores !== null) return findChange(stores.table, id);
  const message = "The settings of this daemon name no platform";
  return Promise.resolve({ kind: "unavailable", message });
}
