/** @module Reads the configuration service by HTTP long polling. */
import { EventKind, type Event } from '@ebonysill/core';
import { SettingsVerdict, describeProblem, parseConfiguration } from '@ebonysill/settings';
import { HttpClient } from '@ebonysill/http';

/** Longest time that the configuration service may hold a long poll. */
const WATCH_TIMEOUT_MS = 40_000;

const OK = 200;

const NO_CONTENT = 204;

/** Longest configuration that is accepted. */
const MAX_CONFIGURATION_BYTES = 1_048_576;

/** Long-polls the configuration service and posts each result as an event. */
export default class ConfigurationPort {
  readonly #client: HttpClient;

  private constructor(
    serviceUrl: string,
    private readonly post: (event: Event) => void,
  ) {
    this.#client = HttpClient.create({
      address: new URL(serviceUrl).host,
      maxAnswerBytes: MAX_CONFIGURATION_BYTES,
    });
  }

  /**
   * Creates a port to the configuration service at an address.
   *
   * @example
   * const configuration = ConfigurationPort.create('http://127.0.0.1:7000', post);
   */
  static create(serviceUrl: string, post: (event: Event) => void): ConfigurationPort {
    return new ConfigurationPort(serviceUrl, post);
  }

  /**
   * Waits for a revision above the given one. Posts `ConfigurationRead` with it, or
   * `ConfigurationUnavailable` if the service fails or the configuration is invalid.
   */
  read(aboveRevision: number): void {
    this.#fetch(aboveRevision)
      .then((text) => (text === undefined ? this.read(aboveRevision) : this.#postResult(text)))
      .catch((error: unknown) => {
        const detail = error instanceof Error ? error.message : 'no answer';
        this.post({ kind: EventKind.ConfigurationUnavailable, detail });
      });
  }

  /** Closes the connections; a read in progress fails. */
  shutdown(): void {
    this.#client.close();
  }

  async #fetch(aboveRevision: number): Promise<string | undefined> {
    const { status, text } = await this.#client.call({
      path: `/v1/configuration?above=${aboveRevision}`,
      method: 'GET',
      timeoutMs: WATCH_TIMEOUT_MS,
    });
    if (status === NO_CONTENT) {
      return undefined;
    }
    if (status !== OK) {
      throw new Error(`the configuration service answered with status ${status}`);
    }
    return text;
  }

  #postResult(text: string): void {
    const result = parseConfiguration(text, 'configuration');
    if (result.kind === SettingsVerdict.Accepted) {
      this.post({ kind: EventKind.ConfigurationRead, configuration: result.value });
      return;
    }
    const detail = result.problems.map(describeProblem).join('; ');
    this.post({ kind: EventKind.ConfigurationUnavailable, detail });
  }
}
