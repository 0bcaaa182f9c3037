/** Content of the `nutmegmoor-control` header of a control message. */
export type Credential = {
  sender: string;
  instance: string;
  counter: number;
  epoch: string;
  mac: string;
};
