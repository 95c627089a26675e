import java.io.File;
import java.lang.reflect.Method;
import java.net.URL;
import java.net.URLClassLoader;
import java.util.Arrays;
import java.util.Random;
import org.bambooarch.peer.generated.FleetProtocol.HeartbeatMessage;

/**
 * Compares the datagrams that two builds write for the same states, in one process, since the order
 * of an immutable map differs between processes. Arguments: the folders of jars of both builds.
 */
class Heartbeats {

  private record Codec(Method decode, Method encode) {

    private static Codec of(String folder) throws Exception {
      File[] jars = new File(folder).listFiles((directory, name) -> name.endsWith(".jar"));
      URL[] urls = new URL[jars.length];
      for (int i = 0; i < jars.length; i++) {
        urls[i] = jars[i].toURI().toURL();
      }
      ClassLoader loader = new URLClassLoader(urls, ClassLoader.getPlatformClassLoader());
      Method decode = null;
      Method encode = null;
      for (Method method : loader.loadClass("org.bambooarch.peer.codec.HeartbeatCodec").getMethods()) {
        if (method.getParameterCount() == 1 && method.getParameterTypes()[0] == byte[].class) {
          decode = method;
        }
        if (method.getReturnType() == byte[].class) {
          encode = method;
        }
      }
      return new Codec(decode, encode);
    }

    private byte[] rewrite(byte[] datagram) throws Exception {
      return (byte[]) encode.invoke(null, decode.invoke(null, (Object) datagram));
    }
  }

  public static void main(String[] folders) throws Exception {
    Codec old = Codec.of(folders[0]);
    Codec current = Codec.of(folders[1]);
    Random random = new Random(42);
    int same = 0;
    long bytes = 0;
    for (int i = 0; i < 500; i++) {
      byte[] datagram = message(random).toByteArray();
      byte[] written = old.rewrite(datagram);
      bytes += written.length;
      same += Arrays.equals(written, current.rewrite(datagram)) ? 1 : 0;
    }
    System.out.println(same + " of 500 datagrams are the same bytes, " + bytes + " bytes in all");
    System.exit(same == 500 ? 0 : 1);
  }

  private static HeartbeatMessage message(Random random) {
    HeartbeatMessage.Builder message =
        HeartbeatMessage.newBuilder()
            .setName("entry-" + random.nextInt(50))
            .setIncarnation(random.nextLong())
            .setRegion("north")
            .setDataCentre("north-" + (char) ('a' + random.nextInt(3)))
            .setCallersAddress("10.0.0." + random.nextInt(255) + ":80")
            .setPeersAddress("10.0.0." + random.nextInt(255) + ":90")
            .setTakesCallers(random.nextBoolean())
            .setConfigVersion(random.nextInt(1_000));
    for (int n = random.nextInt(20); n > 0; n--) {
      message.addCustomers(random.nextInt()).addDemandsCenti(random.nextInt(1_000_000));
      message.addAdmitted(random.nextInt(5_000));
    }
    for (int n = random.nextInt(40); n > 0; n--) {
      message.addServers(random.nextInt()).addInFlight(random.nextInt(100));
    }
    for (int n = random.nextInt(4); n > 0; n--) {
      message.addCrashRequests(random.nextLong()).addCrashServers(random.nextInt());
    }
    return message.build();
  }
}
