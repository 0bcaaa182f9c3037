import { get } from "node:http";
import type { Vm } from "../platform/standin/site.ts";

const PORT = 9464;
const PREFIX = "nutmegmoor_";

/**
 * Reads the metrics of a VM's daemon. `value` returns the value of a series, given
 * by its name and labels without the prefix, or NaN if there is none.
 */
export async function scrape(
  { ip }: Vm,
): Promise<{ text: string; value: (series: string) => number }> {
  const text = await new Promise<string>((resolve, reject) => {
    get(
      { host: ip, port: PORT, path: "/metrics", agent: false },
      (response) => {
        let body = "";
        response.setEncoding("utf8");
        response.on("data", (chunk) => body += chunk);
        response.on("end", () => resolve(body));
        response.on("error", reject);
      },
    ).on("error", reject);
  });
  const values = new Map<string, number>();
  for (const line of text.split("\n")) {
    const at = line.lastIndexOf(" ");
    if (!line.startsWith("#")) values.set(line.slice(0, at), +line.slice(at));
  }
  const value = (series: string) =>
    values.get(`${PREFIX}${series}`) ?? values.get(series) ?? NaN;
  return { text, value };
}
