/**
 * Fields of an execution token, written `address_instance_nonce_expiry_mac`.
 * The expiry is in ms on the issuing process's own clock.
 */
export type Token = {
  address: string;
  instance: string;
  nonce: string;
  expiresAt: number;
  mac: string;
};
