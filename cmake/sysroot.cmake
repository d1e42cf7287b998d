# Toolchain file: builds against a folder with the packages of one architecture (tools/lib/sysroot.py).
# Takes from the environment SYSROOT, the folder; SYSROOT_TRIPLET, Debian's name of the architecture
# (aarch64-linux-gnu); SYSROOT_PROCESSOR, CMake's name of it (aarch64). From the environment, as CMake's
# trial builds read this file as well and don't get the variables of the command line.
set(CMAKE_SYSTEM_NAME Linux)
set(CMAKE_SYSTEM_PROCESSOR $ENV{SYSROOT_PROCESSOR})
set(CMAKE_SYSROOT $ENV{SYSROOT})
set(CMAKE_LIBRARY_ARCHITECTURE $ENV{SYSROOT_TRIPLET})
set(CMAKE_CXX_COMPILER $ENV{SYSROOT_TRIPLET}-g++)
set(CMAKE_FIND_ROOT_PATH $ENV{SYSROOT})
set(CMAKE_FIND_ROOT_PATH_MODE_PROGRAM NEVER)
set(CMAKE_FIND_ROOT_PATH_MODE_LIBRARY ONLY)
set(CMAKE_FIND_ROOT_PATH_MODE_INCLUDE ONLY)
set(CMAKE_FIND_ROOT_PATH_MODE_PACKAGE ONLY)
set(ENV{PKG_CONFIG_SYSROOT_DIR} $ENV{SYSROOT})
set(ENV{PKG_CONFIG_LIBDIR}
    $ENV{SYSROOT}/usr/lib/$ENV{SYSROOT_TRIPLET}/pkgconfig:$ENV{SYSROOT}/usr/share/pkgconfig)
