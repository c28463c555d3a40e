import { after, before, test } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import { ConfigurationMode, ConfigurationStandIn } from '../src/index.js';

const service = ConfigurationStandIn.create();

let url = '';

const read = async (path: string): Promise<string> => {
  const { statusCode, body } = await request(`${url}${path}`, { reset: true });
  const text = await body.text();
  return statusCode === 200 ? text : String(statusCode);
};

before(async () => {
  url = `http://127.0.0.1:${await service.listen(0)}`;
});

after(() => service.close());

test('a watch waits for the next revision', async () => {
  service.publish('{"revision":1}');
  expect(await read('/v1/configuration?above=0')).toEqual('{"revision":1}');
  const watch = read('/v1/configuration?above=1');
  service.publish('{"revision":2}');
  expect(await watch).toEqual('{"revision":2}');
});

test('hosts are published apart from the configuration', async () => {
  service.publishHosts('{"revision":7,"leaving":["10.0.0.1"]}');
  expect(await read('/v1/hosts?above=6')).toEqual('{"revision":7,"leaving":["10.0.0.1"]}');
});

test('a stale service answers with its old revision', async () => {
  service.publish('{"revision":3}');
  service.setMode(ConfigurationMode.Stale);
  service.publish('{"revision":4}');
  expect(await read('/v1/configuration?above=0')).toEqual('{"revision":3}');
  service.setMode(ConfigurationMode.Up);
  expect(await read('/v1/configuration?above=3')).toEqual('{"revision":4}');
});

test('a service that is down answers 503', async () => {
  service.setMode(ConfigurationMode.Down);
  expect(await read('/v1/configuration?above=0')).toEqual('503');
  service.setMode(ConfigurationMode.Up);
});
