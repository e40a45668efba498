/* A Python interpreter that loads its shared library from an in-memory file.

   tools/launcher.c executes this program if Python's machine code is in a
   shared library. It loads the library named by NUTMEGHOOK_PYTHON_LIBRARY and
   passes its arguments on. The dynamic loader uses a loaded library for every
   later request of its name, so the machine's own copy is not used. */

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
