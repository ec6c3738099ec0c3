/** Runs a case by its class name; whatever it throws means that the case could not run. */
final class Case {
    public static void main(String[] a) {
        try {
            String[] rest = new String[a.length - 1];
            System.arraycopy(a, 1, rest, 0, rest.length);
            java.lang.reflect.Method main = Class.forName(a[0]).getDeclaredMethod("main", String[].class);
            main.setAccessible(true);
            main.invoke(null, (Object) rest);
        } catch (ReflectiveOperationException e) {
            e.printStackTrace();
            Proc.killAll();
            System.exit(2);
        }
    }
}
