/* The launcher of dist/nutmeghook, which replaces itself by an interpreter.

   The interpreter is part of this program's image (EMBEDDED, written by
   tools/binary.py). It is copied into an in-memory file and executed by the
   same process: the process id stays, no child is started, and nothing is
   written to a file system. Python's modules and the shared libraries that
   they need are in a zip archive appended to the image, which the interpreter
   reads through a descriptor of this file.

   Errors are written to standard error with the system's reason, and the exit
   status is 70 (EX_SOFTWARE of sysexits.h). */

#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sysexits.h>
#include <unistd.h>

struct embedded_file {
  const char *name;
  const char *start;
  const char *end;
};

/* The interpreter, its library if any, then a terminating entry (name NULL). */
extern const struct embedded_file EMBEDDED[];

enum { PATH_BYTES = 64 };

static char *const INTERPRETER_FLAGS[] = {
    "nutmeghook", "-PSB", "-Xutf8", "-c", "import embedded_start"};
enum { FLAG_COUNT = sizeof INTERPRETER_FLAGS / sizeof *INTERPRETER_FLAGS };

static void give_up(const char *what) {
  fprintf(stderr, "nutmeghook: %s: %s\n", what, strerror(errno));
  exit(EX_SOFTWARE);
}

static int memory_file(const struct embedded_file *file, unsigned flags) {
  int descriptor = memfd_create(file->name, flags);
  if (descriptor < 0) give_up(file->name);
  for (const char *next = file->start; next < file->end;) {
    ssize_t written = write(descriptor, next, (size_t)(file->end - next));
    if (written < 0) give_up(file->name);
    next += written;
  }
  return descriptor;
}

static void descriptor_path(char path[PATH_BYTES], int descriptor) {
  snprintf(path, PATH_BYTES, "/proc/self/fd/%d", descriptor);
}

static void name_library(const struct embedded_file *library) {
  char path[PATH_BYTES];
  if (!library->name) return;
  descriptor_path(path, memory_file(library, 0));
  setenv("NUTMEGHOOK_PYTHON_LIBRARY", path, 1);
}

static void point_to_archive(void) {
  char path[PATH_BYTES];
  int descriptor = open("/proc/self/exe", O_RDONLY);
  if (descriptor < 0) give_up("/proc/self/exe");
  descriptor_path(path, descriptor);
  setenv("PYTHONPATH", path, 1);
  /* With any other home the interpreter would search the disk for its
     library. */
  setenv("PYTHONHOME", path, 1);
}

int main(int count, char **arguments) {
  char **all = calloc((size_t)(FLAG_COUNT + count), sizeof *all);
  if (!all) give_up("arguments");
  memcpy(all, INTERPRETER_FLAGS, sizeof INTERPRETER_FLAGS);
  for (int i = 1; i < count; i++) all[FLAG_COUNT + i - 1] = arguments[i];
  point_to_archive();
  name_library(EMBEDDED + 1);
  char interpreter[PATH_BYTES];
  descriptor_path(interpreter, memory_file(EMBEDDED, MFD_CLOEXEC));
  execv(interpreter, all);
  give_up("cannot execute the interpreter");
}
