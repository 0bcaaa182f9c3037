/** What the `nutmegmoor-control` header of a control message says. */
export type Credential = {
  sender: string;
  instance: string;
  counter: number;
  epoch: string;
  mac: string;
};
