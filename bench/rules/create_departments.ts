import { generateKeys, parsePrivateKey } from "../../src/library.ts";
import type { Department } from "./department.ts";

/** Creates departments with fresh keys. */
export function createDepartments(count: number): Department[] {
  return Array.from({ length: count }, (_, index) => {
    const pair = generateKeys();
    const key = parsePrivateKey(pair.privateKey);
    if (!key.ok) throw new Error("Generated key does not parse");
    const name = `department-${index}`;
    return { name, publicKey: pair.publicKey, privateKey: key.value };
  });
}
