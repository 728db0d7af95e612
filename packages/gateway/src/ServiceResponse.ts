/** A complete response of a target. */
export interface ServiceResponse {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: Buffer;
}
