/* An interpreter whose library is a file in memory.

   tools/launcher.c becomes this program where Python keeps its machine code in
   a shared library. It opens the library that the variable below names and
   hands its arguments over; a library that is open serves every later need of
   its name, so the machine's own is not looked at. */

#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

typedef int (*python_main)(int count, char **arguments);

static void give_up(void) {
  fprintf(stderr, "nutmeghook: Python's library: %s\n", dlerror());
  exit(EX_SOFTWARE);
}

int main(int count, char **arguments) {
  const char *path = getenv("NUTMEGHOOK_PYTHON_LIBRARY");
  void *library = dlopen(path ? path : "", RTLD_NOW | RTLD_GLOBAL);
  if (!library) give_up();
  python_main run = (python_main)dlsym(library, "Py_BytesMain");
  if (!run) give_up();
  return run(count, arguments);
}
