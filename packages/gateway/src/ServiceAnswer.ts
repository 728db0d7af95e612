/** A complete response of a target. */
export interface ServiceAnswer {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: Buffer;
}
