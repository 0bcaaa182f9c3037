/**
 * Fields of an execution token, formatted as
 * `address_instance_nonce_expiry_mac`. The expiry is in ms on the clock of the
 * issuing process.
 */
export type Token = {
  address: string;
  instance: string;
  nonce: string;
  expiresAt: number;
  mac: string;
};
