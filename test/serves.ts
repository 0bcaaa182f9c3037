import { get } from "node:http";
import { sendTo } from "../platform/standin/send_to.ts";
import type { Vm } from "../platform/standin/site.ts";

/** Whether the daemon of a VM is ready and requests to all services succeed. */
export async function serves(
  { ip }: Vm,
  services: readonly string[],
): Promise<boolean> {
  const ready = await new Promise((resolve) => {
    get(
      { host: ip, port: 8302, path: "/readiness", agent: false },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    ).on("error", () => resolve(false));
  });
  if (!ready) return false;
  const responses = await Promise.all(
    services.map((service) => sendTo(ip, `${service}.example`, "/safe/")),
  );
  return responses.every(({ status }) => status === 200);
}
