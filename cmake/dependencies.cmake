# All libraries come from Debian packages, which tools/setup installs.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
# Archives are preferred for what the daemons link: the dynamic linker takes several milliseconds to
# load them as shared libraries, in which a signal still ends a process.
set(shared_library_suffixes ${CMAKE_FIND_LIBRARY_SUFFIXES})
set(CMAKE_FIND_LIBRARY_SUFFIXES .a .so)
set(OPENSSL_USE_STATIC_LIBS TRUE)
find_package(OpenSSL REQUIRED)
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(POPT REQUIRED IMPORTED_TARGET popt)
pkg_check_modules(GFLAGS REQUIRED IMPORTED_TARGET gflags)
pkg_check_modules(GLOG REQUIRED IMPORTED_TARGET libglog)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
target_link_libraries(PkgConfig::GLOG INTERFACE PkgConfig::GFLAGS)
set(CMAKE_FIND_LIBRARY_SUFFIXES ${shared_library_suffixes})
# What glog's archive needs besides depends on the architecture. libunwind (x86-64) is linked as a
# shared library, as its archive isn't position-independent. It defines the compiler's unwinder again
# (_Unwind_RaiseException and others); two of them in one program end it at the first exception. So the
# runtime that the program's C++ library uses comes first: as a whole archive in programs with a static
# runtime, so that no function of it is left to libunwind, and the shared library in all others.
if("unwind" IN_LIST GLOG_STATIC_LIBRARIES)
  pkg_check_modules(UNWIND REQUIRED IMPORTED_TARGET libunwind)
  target_link_libraries(PkgConfig::GLOG INTERFACE
    $<IF:$<BOOL:$<TARGET_PROPERTY:HAS_STATIC_RUNTIME>>,$<LINK_LIBRARY:WHOLE_ARCHIVE,gcc_eh>,gcc_s>
    PkgConfig::UNWIND)
endif()
if(NOT CYCLAMENMOUNT_PLATFORM_ONLY)
  find_package(CURL REQUIRED)
  pkg_check_modules(INIH REQUIRED IMPORTED_TARGET inih)
  pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)
  # The compiler links the C++ library, shared or static; cpputest's pkg-config file asks for the shared
  # one.
  get_target_property(cpputest_libraries PkgConfig::CPPUTEST INTERFACE_LINK_LIBRARIES)
  list(FILTER cpputest_libraries EXCLUDE REGEX "stdc\\+\\+")
  set_target_properties(PkgConfig::CPPUTEST PROPERTIES
    INTERFACE_LINK_LIBRARIES "${cpputest_libraries}")
  find_library(CIVETWEB_LIBRARY civetweb REQUIRED)
endif()
