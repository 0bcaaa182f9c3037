import type { Fleet } from "../../fleet/fleet.ts";
import { getJson } from "../../fleet/get_json.ts";
import { Ports } from "../../fleet/ports.ts";
import type { Control } from "../../standin/server/control.ts";

/** Sets the fault mode of the backend servers of the given service or of all services. */
export async function setModes(
  { members }: Fleet,
  control: Partial<Control>,
  service?: string,
): Promise<void> {
  const servers = members.filter((member) =>
    member.kind === "server" &&
    (service === undefined || member.service === service)
  );
  await Promise.all(
    servers.map(({ host }) =>
      getJson(`http://${host}:${Ports.server}/-/control`, control)
    ),
  );
}
