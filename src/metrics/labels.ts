/** Label names and values of one measurement. */
export type Labels = Readonly<Record<string, string>>;
