import { App } from "@tinyhttp/app";
import type { RequestListener } from "node:http";
import { parse } from "../core/parse.ts";
import type { Drain } from "../drain/drain.ts";
import { Announcement } from "../membership/announcement.ts";
import type { Relay } from "../relay/relay.ts";
import { useServer } from "../relay/use_server.ts";
import { readJson } from "./read_json.ts";

/** What the routes for backend server and operators work on. */
type Parts = { relay: Relay; drain: Drain; leave: () => void };

/** Routes under `/-/` of the local listener. */
export function localApp({ relay, drain, leave }: Parts): RequestListener {
  const app = new App();
  app.put("/-/announce", async (request, response) => {
    const body = parse(Announcement, await readJson(request));
    if (!body.ok) {
      relay.log("announcement", { rejected: body.issues[0]?.message });
      return response.status(400).json(body);
    }
    useServer(relay, body.value);
    response.status(200).json({ ok: true });
  });
  app.get("/-/status", (_request, response) => {
    response.json({
      address: relay.address,
      phase: drain.phase,
      service: relay.server?.service ?? null,
      limit: relay.admission?.limit ?? null,
      inFlight: relay.admission?.inFlight ?? null,
      queued: relay.admission?.queue.size ?? null,
      level: relay.admission?.level ?? null,
    });
  });
  app.post("/-/drain", (_request, response) => {
    leave();
    response.json({ ok: true, phase: drain.phase });
  });
  // tinyhttp adds its own fields to the plain request and response.
  return app.attach as unknown as RequestListener;
}
