import { createObjectStore } from "../store/create_object_store.ts";
import { createTableService } from "../store/create_table_service.ts";
import type { Settings } from "../settings/settings.ts";
import type { PlatformClients } from "./platform_clients.ts";

/**
 * Creates the clients of the platform; `stores` is null if none is configured.
 */
export function createPlatformClients(
  { platform, daemon }: Settings,
): PlatformClients {
  if (platform === null) {
    return { stores: null, close: () => Promise.resolve() };
  }
  const { accessKey, secretKey } = platform;
  const { region } = daemon;
  const credentials = { accessKey, secretKey, region };
  const table = createTableService({
    endpoint: platform.tableService,
    ...credentials,
  });
  const objects = createObjectStore({
    endpoint: platform.objectStore,
    ...credentials,
  });
  const close = async () => {
    await table.close();
    await objects.close();
  };
  return { stores: { table, objects }, close };
}
