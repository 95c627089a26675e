/** The configuration of a small deployment with one host and one tenant. */
final class Deployment {

  static final String KEY = "9anu6wsjnbanfqasnmgk";

  private Deployment() {}

  static String route(String name, String kind, String timeout, String service) {
    return ("{\"name\":\"%1$s\",\"host\":\"shop.example\",\"prefix\":\"/%1$s/\",\"kind\":\"%2$s\","
            + "\"timeout\":\"%3$s\",\"target-latency\":\"600ms\",\"max-attempts\":3,\"priority\":0,"
            + "\"service\":\"%4$s\"}")
        .formatted(name, kind, timeout, service);
  }

  /** A configuration with the routes, their services and one tenant without a limit. */
  static String config(String version, String routes, String... services) {
    StringBuilder list = new StringBuilder();
    for (String service : services) {
      list.append(list.isEmpty() ? "" : ",")
          .append(
              "{\"name\":\"%s\",\"health-path\":\"/health\",\"max-conns\":360,"
                      .formatted(service)
                  + "\"cold-start\":\"0ms\",\"cold-per-s\":1000}");
    }
    return ("{\"version\":\"%s\",\"routes\":[%s],\"services\":[%s],\"limits\":"
            + "{\"max-header-bytes\":16384,\"max-body-bytes\":8388608,\"header-timeout\":\"5s\","
            + "\"idle-timeout\":\"15s\"},\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"%s\"],"
            + "\"priority\":0,\"rate-per-s\":0,\"burst\":0}]}")
        .formatted(version, routes, list, KEY);
  }
}
