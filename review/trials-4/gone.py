import subprocess,os,socket,time,re,sys,struct
env=dict(os.environ,REPOSITORY=os.getcwd(),WORK='4000',WORKERS='2')
os.makedirs(os.environ['OUT'],exist_ok=True)
p=subprocess.Popen([os.environ['HOLD'],'hold'],stdin=subprocess.PIPE,stdout=subprocess.PIPE,text=True,cwd=os.environ['OUT'],env=env)
ok,a,b,d=p.stdout.readline().split(); print(ok,a,b,d)
def addr(x): h,q=x.split(':'); return (h,int(q))
A=addr(a)
time.sleep(4)
def wports():
    out=subprocess.run(['pgrep','-af','explore worker'],capture_output=True,text=True).stdout
    return {int(m) for m in re.findall(r'--address 127.0.0.1:(\d+)',out)}
W=wports()
def est():
    n=0
    for l in open('/proc/net/tcp').read().splitlines()[1:]:
        f=l.split(); rp=int(f[2].split(':')[1],16); st=f[3]
        if rp in W and st=='01': n+=1
    return n
def req(m,path,i,body=b'',extra='',http='1.1'):
    return (f'{m} {path} HTTP/{http}\r\nHost: bulbs.example\r\nWagtailarch-Request-Id: {i}\r\nWagtailarch-Deadline-Ms: 8000\r\n{extra}'+(f'Content-Length: {len(body)}\r\n' if body or m=="POST" else '')+'\r\n').encode()+body
S='Wagtailarch-Model: m\r\nWagtailarch-Token-Counts: 1460,80\r\nWagtailarch-Prompt-Prefix: aa:800,b%s:660\r\n'
def phase(name,data,how,wait=0.5):
    s=socket.create_connection(A); s.sendall(data); time.sleep(wait); e0=est()
    if how=='close': s.close()
    if how=='rst':
        s.setsockopt(socket.SOL_SOCKET,socket.SO_LINGER,struct.pack('ii',1,0)); s.close()
    if how=='half': s.shutdown(socket.SHUT_WR)
    t=time.time(); time.sleep(0.55); e1=est(); 
    got=b''
    if how=='half':
        s.settimeout(6)
        try: got=s.recv(100)
        except Exception as x: got=repr(x).encode()
    print(name,how,'open before',e0,'0.55s after',e1,got[:60]); time.sleep(4.2)
phase('get',req('GET','/get/1','g1'),'close')
phase('get',req('GET','/get/2','g2'),'rst')
phase('get',req('GET','/get/3','g3'),'half')
phase('post',req('POST','/post/3','p3',b'x'*500),'close')
phase('get+crlf',req('GET','/get/4','g4')+b'\r\n','close')
phase('post+pipelined',req('GET','/get/5','g5')+req('GET','/get/6','g6'),'close')
phase('stream',req('POST','/draft/1','s1',b'hello',S%1),'close')
phase('stream',req('POST','/draft/2','s2',b'hello',S%2),'rst',1.0)
phase('stream+crlf',req('POST','/draft/3','s3',b'hello',S%3)+b'\r\n','close',1.0)
phase('stream10',req('POST','/draft/4','s4',b'hello',S%4,'1.0'),'close',1.0)
phase('post chunked',b'POST /post/9 HTTP/1.1\r\nHost: bulbs.example\r\nWagtailarch-Request-Id: pc\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n','close')
p.stdin.write('\n'); p.stdin.flush(); p.wait()
