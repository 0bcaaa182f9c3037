/** Platform credentials, from the `platform` section of the settings. */
export type Credentials = {
  accessKey: string;
  secretKey: string;
  region: string;
};
